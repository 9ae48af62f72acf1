/** Parses network addresses in the form used by the settings, the cloud's list of machines and heartbeats. */

/** Splits `host:port`. The form is not checked, so any other text results in an unusable host or port. */
export function parseHostPort(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
