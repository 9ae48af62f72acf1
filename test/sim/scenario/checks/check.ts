import type { World } from '../../world.js';

/** Judges a world at the end of its scenario; null: it is as expected, else what is wrong. */
type ScenarioCheck = (world: World, words: string[]) => string | null;
/** Checks by their names in a scenario; `words` are those after the name. */
export type CheckTable = Readonly<Record<string, ScenarioCheck>>;
