import fc from 'fast-check';

/* Generators of scenario lines, for properties over whole worlds. */

/** A time in seconds, in steps of a half. */
export const halfSeconds = (from: number, to: number): fc.Arbitrary<number> =>
  fc.integer({ min: from * 2, max: to * 2 }).map((half) => half / 2);

/** The id of one of so many machines that are there from the start. */
export const machineName = (machines: number): fc.Arbitrary<string> =>
  fc.nat(machines - 1).map((number) => `i-${String(number).padStart(6, '0')}`);

/** A word that is always the same. */
export const constantWord = (text: string): fc.Arbitrary<string> => fc.constant(text);

/** Returns a generator of events at some time between these seconds; its arguments are the words of the event. */
export const scenarioLineWithin =
  (from: number, to: number) =>
  (...parts: fc.Arbitrary<string | number>[]): fc.Arbitrary<string> =>
    fc.tuple(halfSeconds(from, to), ...parts).map(([at, ...words]) => `at ${at} ${words.join(' ')}`);
