import { fileURLToPath } from 'node:url';
import { loadFeatures } from '../../src/config/features.js';
import { loadTuning } from '../../src/config/tuning.js';
import { Controller } from '../../src/core/controller.js';
import { ALL_OFF, type Features } from '../../src/core/features.js';
import type { PeerMessage } from '../../src/core/messages.js';
import * as records from '../../src/core/records.js';
import type { Tuning } from '../../src/core/settings.js';
import { encodeFrame, FrameSplitter } from '../../src/io/peers/peer_codec.js';

/** What a world asks of a build's controller; earlier builds keep no summary of recovery. */
export type SimulatedController = Pick<Controller, 'step' | 'nextTimerAt' | 'isHealthy'> &
  Partial<Pick<Controller, 'recoverySummary'>>;

/** The parts of a build that a world needs: this one's, or an earlier one's. */
export interface Build {
  readonly name: string;
  readonly controllerClass: new (...properties: ConstructorParameters<typeof Controller>) => SimulatedController;
  readonly encodeFrame: typeof encodeFrame;
  readonly splitterClass: typeof FrameSplitter;
  readonly records: typeof records;
  readonly tuning: Tuning;
  /** What it switches on; builds that know of no such file have nothing to switch. */
  readonly features: Features;
  /** Whether it keeps to the limits that the settings announce for later. */
  readonly readsAnnouncedLimits: boolean;
  /** Which names its code gives to messages, settings and records; on the wire and in storage nothing was renamed. */
  readonly names: 'names-1' | 'names-2' | 'present';
  /** A message to a peer as the build's own codec takes it. */
  readonly ownMessage: (message: PeerMessage) => PeerMessage;
}

const deployFile = (name: string): string => fileURLToPath(new URL(`../../../../deploy/${name}`, import.meta.url));

/** The build of this version, with the features as they are deployed. */
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
  ownMessage: (message) => message,
};

/** The present build with all features off, as an operator may run it beside others. */
export const FEATURES_OFF: Build = { ...CURRENT_BUILD, name: 'features-off', features: ALL_OFF };

/** The builds of this version. */
export const CURRENT_BUILDS: readonly Build[] = [CURRENT_BUILD, FEATURES_OFF];

/** Whether a build is of this version. */
export const isCurrent = (build: Build): boolean => CURRENT_BUILDS.includes(build);
