/** The kinds of value that settings have; the files' schemas are put together from these. */
import * as v from 'valibot';

/** A finite number above 0. */
export const positiveNumber = v.pipe(v.number(), v.finite(), v.gtValue(0));
/** A finite number, 0 or above. */
export const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
/** A number from `least` to `most`, both included. */
export const numberBetween = (least: number, most: number) => v.pipe(v.number(), v.minValue(least), v.maxValue(most));
/** A whole number, 1 or above. */
export const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
/** A whole number, 0 or above. */
export const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));
/** A share of a whole: above 0, and 1 at most. */
export const fraction = v.pipe(v.number(), v.gtValue(0), v.maxValue(1));
/** A name: a text that isn't empty. */
export const nonEmptyText = v.pipe(v.string(), v.minLength(1));
/** A network address with its port. */
export const hostAndPort = v.pipe(v.string(), v.regex(/^[^:\s]+:\d{1,5}$/, 'must be host:port'));
