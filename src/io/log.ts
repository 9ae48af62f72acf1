/** Writes the log. */
import pino from 'pino';
import type { LogEntry, LogFields, LogLevel } from '../core/log_events.js';

/** Writes one line. */
export type Log = (entry: LogEntry) => void;

const LEVELS: readonly LogLevel[] = ['error', 'info', 'debug'];
const DEFAULT_LEVEL: LogLevel = 'info';
const STANDARD_ERROR = 2;

const configuredLevel = (): LogLevel => LEVELS.find((level) => level === process.env.LOG_LEVEL) ?? DEFAULT_LEVEL;

/**
 * Returns a log of JSON lines on standard error, written at once: a process may be killed without notice. `LOG_LEVEL` sets the
 * least level that is written: `error`, `info` (also for anything else) or `debug`.
 */
export function createLog(controller: string): Log {
  const logger = pino(
    { level: configuredLevel(), base: { node: controller }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: STANDARD_ERROR, sync: true }),
  );
  return ({ level, event, fields }) => {
    if (!logger.isLevelEnabled(level)) return;
    logger[level](bigintsAsText(fields), event);
  };
}

/** JSON has no bigint. */
function bigintsAsText(fields: LogFields): Record<string, unknown> {
  const printable: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(fields)) {
    printable[key] = typeof value === 'bigint' ? value.toString() : value;
  }
  return printable;
}
