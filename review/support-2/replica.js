'use strict';
/* global Buffer, module, require */
/** A replica of a plain service: runs requests, and sends heartbeats. */
const http = require('node:http');
const {call, sleep} = require('./deployment');

class Replica {
  constructor(deployment, options) {
    const {id, ip, port, service = 'logger', slots = 6, answer} = options;
    Object.assign(this, {deployment, id, ip, port, service, slots, answer});
    this.running = 0;
    this.sequence = 0;
    this.state = 'ready';
    this.runs = [];
    this.isBeating = true;
  }

  get address() {
    return `${this.ip}:${this.port}`;
  }

  async start() {
    this.server = http.createServer((message, response) => {
      const parts = [];
      message.on('data', part => parts.push(part));
      message.on('end', () => {
        this.handle(message, response, Buffer.concat(parts));
      });
    });
    this.server.keepAliveTimeout = 60000;
    await new Promise(resolve =>
      this.server.listen(this.port, this.ip, resolve),
    );
    this.port = this.server.address().port;
    void this.beat();
  }

  handle(message, response, body) {
    const {url, headers} = message;
    if (url === '/health') {
      response.writeHead(200, {'x-whinreel-instance-id': this.id});
      response.end();
      return;
    }
    const id = headers['x-whinreel-request-id'];
    if (headers['x-whinreel-expect-instance'] !== this.id) {
      response.writeHead(421, {
        'x-whinreel-request-id': id,
        'x-whinreel-instance-id': this.id,
      });
      response.end();
      return;
    }
    // It handles `slots` requests at once and queues a few more.
    if (this.running >= 4 * this.slots) {
      response.writeHead(503, {
        'x-whinreel-request-id': id,
        'x-whinreel-not-executed': '1',
      });
      response.end();
      return;
    }
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    this.runs.push({id, at: Date.now()});
    this.deployment.log(
      `${this.id} runs ${id} ${message.method} ${url} tenant ${headers['x-whinreel-tenant']}`,
    );
    if (this.answer) {
      this.answer(message, response, id, body);
    } else {
      this.answerNow(response, id);
    }
  }

  answerNow(response, id) {
    response.writeHead(200, {
      'x-whinreel-request-id': id,
      'x-whinreel-response-seal': `seal.${id}`,
      'content-type': 'text/plain',
    });
    response.end(`answer to ${id}`);
  }

  describe() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.address,
      zone: 'saburtalo',
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
    });
  }

  /** Sends one heartbeat, to the next process after a failure. */
  async register(body = this.describe()) {
    const {cores, ports} = this.deployment;
    for (let at = 0; at < 10; at += 1) {
      const core = cores[(this.sequence + at) % cores.length];
      const {status} = await call({
        host: core.ip,
        port: ports.control,
        method: 'PUT',
        path: `/v1/replicas/${this.id}`,
        body,
        timeoutMs: 1000,
      });
      if (status >= 200 && status < 300) {
        return core.name;
      }
    }
    return undefined;
  }

  async beat() {
    while (this.isBeating) {
      await this.register();
      await sleep(this.deployment.options.heartbeatMs);
    }
  }

  stop() {
    this.isBeating = false;
    this.server.closeAllConnections();
    this.server.close();
  }
}

module.exports = {Replica};
