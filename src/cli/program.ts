import { Command } from 'commander';
import { loadFeatures } from '../config/features.js';
import { SettingsError } from '../config/load.js';
import { loadPlatform, type Platform } from '../config/platform.js';
import { loadTuning } from '../config/tuning.js';
import type { Features } from '../core/features.js';
import type { Tuning } from '../core/settings.js';
import { VERSION } from '../version.js';

const DEFAULT_TUNING = 'deploy/tuning.toml';
const DEFAULT_FEATURES = 'deploy/features.toml';
/** Of a wrong setting or option. */
const SETTINGS_EXIT_CODE = 2;

interface Files {
  config?: string;
  tuning: string;
  features: string;
}

/** All that a node is told at its start. */
export interface Configuration {
  readonly platform: Platform;
  readonly tuning: Tuning;
  readonly features: Features;
}

function load(files: Files): Configuration {
  if (!files.config) throw new SettingsError('--config FILE is required');
  const platform = loadPlatform(files.config);
  return { platform, tuning: loadTuning(files.tuning), features: loadFeatures(files.features) };
}

/** Runs `action`; a settings problem ends the program with one line and exit code 2. */
function checked(action: () => void): void {
  try {
    action();
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`magpielift: ${error.message}\n`);
    process.exitCode = SETTINGS_EXIT_CODE;
  }
}

const withFiles = (command: Command): Command =>
  command
    .option('--config <file>', "the platform's settings (TOML)")
    .option('--tuning <file>', "the operators' own tuning (TOML)", DEFAULT_TUNING)
    .option('--features <file>', 'what the deployment switches on (TOML)', DEFAULT_FEATURES);

/** The command line. `serve` is what runs without a command; a console would become one more command here. */
export function makeProgram(serve: (configuration: Configuration) => void): Command {
  const program = withFiles(new Command('magpielift'))
    .description('a small cluster scheduler: runs a controller node until it is killed')
    .version(VERSION)
    .enablePositionalOptions()
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : SETTINGS_EXIT_CODE))
    .action((files: Files) => checked(() => serve(load(files))));
  withFiles(program.command('check'))
    .description('check the settings files and end')
    .action((files: Files) =>
      checked(() => {
        const { platform } = load(files);
        process.stdout.write(
          `settings are good: node ${platform.settings.controller}, ${platform.settings.controllerCount} nodes\n`,
        );
      }),
    );
  return program;
}
