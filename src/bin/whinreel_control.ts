#!/usr/bin/env node
/** Starts one control process. */
import {resolveControlSettings} from '../config/resolve_control_settings';
import {ControlServer} from '../control/control_server';
import {runDaemon} from './run_daemon';

void runDaemon('whinreel-control', () => {
  const {settings, logFormat} = resolveControlSettings(
    process.argv.slice(2),
    process.env,
  );
  return {
    logFormat,
    start: async () => {
      const control = await ControlServer.create(settings);
      return {
        events: control.events,
        ports: {port: control.port},
        stop: () => control.close(),
        failed: control.failed,
      };
    },
  };
});
