/** The command line: its options and commands, and the message and exit code for invalid settings. */
import { Command } from 'commander';
import { loadFeatures } from '../config/features.js';
import { loadPlatform, type PlatformSettings } from '../config/platform.js';
import { SettingsError } from '../config/settings_error.js';
import { loadTuning } from '../config/tuning.js';
import type { Features } from '../core/features.js';
import type { Tuning } from '../core/settings.js';
import { VERSION } from '../version.js';

const DEFAULT_TUNING_FILE = 'deploy/tuning.toml';
const DEFAULT_FEATURES_FILE = 'deploy/features.toml';
/** Exit code for an invalid setting or option. */
const SETTINGS_EXIT_CODE = 2;

/** Paths of the settings files, as given by the options. */
interface FileOptions {
  readonly config?: string;
  readonly tuning: string;
  readonly features: string;
}

/** The complete configuration of a controller. */
export interface Configuration {
  readonly platform: PlatformSettings;
  readonly tuning: Tuning;
  readonly features: Features;
}

function loadConfiguration(files: FileOptions): Configuration {
  if (!files.config) throw new SettingsError('missingOption', { problem: '--config FILE is required' });
  const platform = loadPlatform(files.config);
  return { platform, tuning: loadTuning(files.tuning), features: loadFeatures(files.features) };
}

/** Runs `action`. A `SettingsError` ends the program with a message of one line and exit code 2. */
function reportSettingsErrors(action: () => void): void {
  try {
    action();
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    process.stderr.write(`magpielift: ${error.message}\n`);
    process.exitCode = SETTINGS_EXIT_CODE;
  }
}

const withFileOptions = (command: Command): Command =>
  command
    .option('--config <file>', "the platform's settings (TOML)")
    .option('--tuning <file>', "the operators' own tuning (TOML)", DEFAULT_TUNING_FILE)
    .option('--features <file>', 'what the deployment switches on (TOML)', DEFAULT_FEATURES_FILE);

/**
 * Returns the command line before its arguments are parsed. `serve` runs if no command is given. A console could
 * be added as a further command.
 */
export function createProgram(serve: (configuration: Configuration) => void): Command {
  const program = withFileOptions(new Command('magpielift'))
    .description('a small cluster scheduler: runs a controller node until it is killed')
    .version(VERSION)
    .enablePositionalOptions()
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : SETTINGS_EXIT_CODE))
    .action((files: FileOptions) => reportSettingsErrors(() => serve(loadConfiguration(files))));
  withFileOptions(program.command('check'))
    .description('check the settings files and end')
    .action((files: FileOptions) =>
      reportSettingsErrors(() => {
        const { platform } = loadConfiguration(files);
        process.stdout.write(
          `settings are good: node ${platform.settings.controller}, ${platform.settings.controllerCount} nodes\n`,
        );
      }),
    );
  return program;
}
