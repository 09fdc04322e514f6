/** A program that listens with a limit on connections far above its descriptors, and prints its port. */
import {HttpListener} from '../../src/transport/http_listener';

void HttpListener.create({
  host: '127.0.0.1',
  port: 0,
  maxConnections: 10_000,
  onRequest: (_message, response) => response.end('ok'),
}).then(({port}) => process.stdout.write(`${port}\n`));
