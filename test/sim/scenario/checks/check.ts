/** The type of the checks that a scenario can expect. */
import type { World } from '../../world.js';

/** Checks a world at the end of its scenario. Returns null if the check holds, else a description of the problem. */
type ScenarioCheck = (world: World, words: string[]) => string | null;
/** Checks by their names in a scenario. `words` are the words after the name. */
export type CheckTable = Readonly<Record<string, ScenarioCheck>>;
