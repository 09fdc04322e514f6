'use strict';
/* global module */
/** A configuration with one service of plain requests, as an operator sends it. */
function createConfiguration(version, changes = {}) {
  return {
    version,
    routes: [
      {
        name: 'r-safe',
        host: 'ficu95.example',
        path_prefix: '/safe/',
        route_type: 'safe',
        timeout_ms: 2000,
        target_latency_ms: 386,
        priority: 2,
        service: 'logger',
        max_attempts: 2,
        allow_anonymous: false,
      },
      {
        name: 'r-unsafe',
        host: 'ficu95.example',
        path_prefix: '/unsafe/',
        route_type: 'unsafe',
        timeout_ms: 2000,
        target_latency_ms: 386,
        priority: 2,
        service: 'logger',
        max_attempts: 1,
        allow_anonymous: false,
      },
    ],
    services: [
      {
        name: 'logger',
        health_path: '/health',
        max_connections: 110,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      {name: 'hule930', api_keys: ['n2ctnfzs989anu6wsjnb'], priority: 1},
    ],
    ...changes,
  };
}
module.exports = {createConfiguration};
