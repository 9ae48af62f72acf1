/** Schemas of single values, from which the schemas of the settings files are built. */
import * as v from 'valibot';

/** A finite number greater than 0. */
export const positiveNumber = v.pipe(v.number(), v.finite(), v.gtValue(0));
/** A finite number, 0 or greater. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
/** A number from `minimum` to `maximum`, both included. */
export const numberBetween = (minimum: number, maximum: number) =>
  v.pipe(v.number(), v.minValue(minimum), v.maxValue(maximum));
/** An integer, 1 or greater. */
export const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
/** An integer, 0 or greater. */
export const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));
/** A fraction greater than 0, up to 1. */
export const fraction = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
/** A string that is not empty. */
export const nonEmptyText = v.pipe(v.string(), v.minLength(1));
/** A network address of the form `host:port`. */
export const hostAndPort = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));
