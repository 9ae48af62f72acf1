/** The command line: options, commands, and what the program says and returns where a setting is refused. */
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
/** The exit code for a refused setting or option. */
const SETTINGS_EXIT_CODE = 2;

/** The paths that the options give. */
interface FileOptions {
  readonly config?: string;
  readonly tuning: string;
  readonly features: string;
}

/** All that a controller is told at its start. */
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

/** Runs `action`; a settings problem ends the program with one line and exit code 2. */
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
 * Returns the command line, which has yet to parse its arguments. `serve` is what runs without a command; a console would
 * become one more command here.
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
