import * as net from 'node:net';

/** Finds a port that is free now; control processes must know each other's beforehand. */
export async function reservePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}
