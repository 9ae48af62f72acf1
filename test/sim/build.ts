import { fileURLToPath } from 'node:url';
import { loadFeatures } from '../../src/config/features.js';
import { loadTuning } from '../../src/config/tuning.js';
import { ALL_OFF, type Features } from '../../src/core/features.js';
import type { Input, Output } from '../../src/core/messages.js';
import { Node } from '../../src/core/node.js';
import * as records from '../../src/core/records.js';
import type { Tuning } from '../../src/core/settings.js';
import { encodeFrame, FrameSplitter } from '../../src/io/peer/peer_codec.js';

/** The parts of a build that a world needs: this one's, or an earlier one's. */
export interface Build {
  readonly name: string;
  readonly nodeClass: typeof Node;
  readonly encodeFrame: typeof encodeFrame;
  readonly splitterClass: typeof FrameSplitter;
  readonly records: typeof records;
  readonly tuning: Tuning;
  /** What it switches on; builds that know of no such file have nothing to switch. */
  readonly features: Features;
  /** Whether it keeps to the limits that the settings announce for later. */
  readonly readsAnnouncedLimits: boolean;
  /** Whether its code calls messages as the present one does; on the wire nothing was renamed. */
  readonly hasPresentNames: boolean;
  /** Between the names that the present core uses and its own. */
  readonly translate: { input(input: Input): Input; output(output: Output): Output };
}

/** For builds that use the present names. */
export const AS_IT_IS: Build['translate'] = { input: (input) => input, output: (output) => output };

const deployFile = (name: string): string => fileURLToPath(new URL(`../../../../deploy/${name}`, import.meta.url));

export const PRESENT: Build = {
  name: 'present',
  nodeClass: Node,
  encodeFrame,
  splitterClass: FrameSplitter,
  records,
  tuning: loadTuning(deployFile('tuning.toml')),
  features: loadFeatures(deployFile('features.toml')),
  readsAnnouncedLimits: true,
  hasPresentNames: true,
  translate: AS_IT_IS,
};

/** The present build with all features off, as an operator may run it beside others. */
export const FEATURES_OFF: Build = { ...PRESENT, name: 'features-off', features: ALL_OFF };

/** The builds of this version. */
export const PRESENT_BUILDS: readonly Build[] = [PRESENT, FEATURES_OFF];

export const isPresent = (build: Build): boolean => PRESENT_BUILDS.includes(build);
