/** Network addresses as the settings and the cloud's list write them. */

/** Splits `host:port`. What isn't of that form gives an address to which no connection can be made. */
export function parseHostPort(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
