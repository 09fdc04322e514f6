/** Runs one stand-in as a process of its own: `run.js KIND NAME [ANNOUNCE] [TOKEN_MS]`. */
import {EngineStandIn} from './engine_stand_in';

const [kind, name, announceTo, tokenMs] = process.argv.slice(2);

void EngineStandIn.create({
  kind: kind as 'model' | 'service',
  name,
  announceTo: announceTo || undefined,
  tokenMs: Number(tokenMs ?? 0),
}).then(standIn => {
  process.stdout.write(
    `${JSON.stringify({ready: 'stand-in', url: standIn.url})}\n`,
  );
  process.once(
    'SIGTERM',
    () => void standIn.close().then(() => process.exit(0)),
  );
});
