/** The builds of the controller that a world can run. */
import { fileURLToPath } from 'node:url';
import { loadFeatures } from '../../src/config/features.js';
import { loadTuning } from '../../src/config/tuning.js';
import { Controller } from '../../src/core/controller.js';
import { ALL_OFF, type Features } from '../../src/core/features.js';
import type { PeerMessage } from '../../src/core/messages.js';
import * as records from '../../src/core/records.js';
import type { Tuning } from '../../src/core/settings.js';
import { encodeFrame, FrameSplitter } from '../../src/io/peers/peer_codec.js';

/** The methods of a build's controller that a world calls. Earlier builds have no recovery summary. */
export type SimulatedController = Pick<Controller, 'step' | 'nextTimerAt' | 'isHealthy'> &
  Partial<Pick<Controller, 'recoverySummary'>>;

/** The parts of a build, of this version or an earlier one, that a world uses. */
export interface Build {
  readonly name: string;
  readonly controllerClass: new (...properties: ConstructorParameters<typeof Controller>) => SimulatedController;
  readonly encodeFrame: typeof encodeFrame;
  readonly splitterClass: typeof FrameSplitter;
  readonly records: typeof records;
  readonly tuning: Tuning;
  /** The features that it enables; all off for builds from before deploy/features.toml. */
  readonly features: Features;
  /** Whether it already complies with limits that the settings announce for a later time. */
  readonly readsAnnouncedLimits: boolean;
  /**
   * The generation of names that its code uses for messages, settings and records. Wire and storage formats are the
   * same.
   */
  readonly names: 'names-1' | 'names-2' | 'present';
  /** Translates a message to a peer to the names that the build's own codec expects. */
  readonly toBuildMessage: (message: PeerMessage) => PeerMessage;
}

const deployFile = (name: string): string => fileURLToPath(new URL(`../../../../deploy/${name}`, import.meta.url));

/** The build of this version, with the deployed features. */
export const CURRENT_BUILD: Build = {
  name: 'present',
  controllerClass: Controller,
  encodeFrame,
  splitterClass: FrameSplitter,
  records,
  tuning: loadTuning(deployFile('tuning.toml')),
  features: loadFeatures(deployFile('features.toml')),
  readsAnnouncedLimits: true,
  names: 'present',
  toBuildMessage: (message) => message,
};

/** The build of this version with all features off, which operators may run beside other builds. */
export const FEATURES_OFF: Build = { ...CURRENT_BUILD, name: 'features-off', features: ALL_OFF };

/** The builds of this version. */
export const CURRENT_BUILDS: readonly Build[] = [CURRENT_BUILD, FEATURES_OFF];

/** Returns whether a build is of this version. */
export const isCurrent = (build: Build): boolean => CURRENT_BUILDS.includes(build);
