const HOST = '127.0.0.1';

/**
 * Returns strings in place of an address that are none, or none that a server listens on.
 *
 * @param port a port of a server that runs
 */
export function listMalformedAddresses(port: number): string[] {
  return [
    `${HOST}:65536`,
    HOST,
    `${HOST} :${port}`,
    `[${HOST}:${port}`,
    `http://${HOST}:${port}/`,
    `${HOST}:http`,
    `::1:${port}`,
    `127.1:${port}`,
    `127..1:${port}`,
    `${HOST}:-1`,
    `${HOST}:${port}${port}${port}`,
    '[::1%réseau]:',
  ];
}
