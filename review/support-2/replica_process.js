'use strict';
/* global process, require, setTimeout */
/**
 * One replica of a plain service as a process of its own. It prints what it runs.
 *
 * Usage: node replica_process.js '{"id", "ip", "port", "service", "workMs", "slots", "cores", "heartbeatMs"}'
 */
const {Replica} = require('./replica');

const options = JSON.parse(process.argv[2]);
const {id, ip, port, service, workMs, slots, cores, controlPort} = options;
const deployment = {
  cores: cores.map(core => ({ip: core})),
  ports: {control: controlPort},
  options: {heartbeatMs: options.heartbeatMs},
  log: text => process.stdout.write(`${text}\n`),
};
/** Sound replicas vary: half to one and a half times the mean. */
const drawWorkMs = () => workMs * (0.5 + Math.random());

const replica = new Replica(deployment, {
  id,
  ip,
  port,
  service,
  slots,
  answer: (message, response, requestId) => {
    setTimeout(() => {
      replica.answerNow(response, requestId);
    }, drawWorkMs());
  },
});
void replica.start();
