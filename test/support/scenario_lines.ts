/** Generators of random scenario lines, for property tests over whole simulated worlds. */
import fc from 'fast-check';

/** Returns a generator of times in seconds, in steps of 0.5. */
export const halfSeconds = (from: number, to: number): fc.Arbitrary<number> =>
  fc.integer({ min: from * 2, max: to * 2 }).map((half) => half / 2);

/** Returns a generator of ids of the first `machines` machines, which exist from the start. */
export const machineName = (machines: number): fc.Arbitrary<string> =>
  fc.nat(machines - 1).map((number) => `i-${String(number).padStart(6, '0')}`);

/** Returns a generator that always yields the same word. */
export const constantWord = (text: string): fc.Arbitrary<string> => fc.constant(text);

/**
 * Returns a function that combines generators of the words of an event into a generator of scenario lines. The event of
 * each line takes place between `from` and `to` seconds.
 */
export const scenarioLineWithin =
  (from: number, to: number) =>
  (...parts: fc.Arbitrary<string | number>[]): fc.Arbitrary<string> =>
    fc.tuple(halfSeconds(from, to), ...parts).map(([at, ...words]) => `at ${at} ${words.join(' ')}`);
