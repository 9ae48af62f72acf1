/** Splits `host:port`, as the settings and the cloud's list write it. */
export function parseHostPort(addr: string): { host: string; port: number } {
  const colon = addr.lastIndexOf(':');
  return { host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)) };
}
