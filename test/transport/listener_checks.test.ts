/** Guards against a server that counts as listening by a probe that began before its process ended. */
import {expect, test} from 'vitest';
import {ListenerChecks} from '../../src/transport/listener_checks';

type Probe = NonNullable<Parameters<typeof ListenerChecks.create>[0]>;
type State = Awaited<ReturnType<Probe>>;

/** Creates checks whose checks end when the test says so. */
function createChecks() {
  const answers: Array<(state: State) => void> = [];
  const checks = ListenerChecks.create(
    () => new Promise(resolve => answers.push(resolve)),
  );
  return {checks, answers};
}

async function settle(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

test('a check that is asked for during a probe takes the result of the next one', async () => {
  const {checks, answers} = createChecks();
  const first = checks.check('127.0.0.1:1');
  const second = checks.check('127.0.0.1:1');
  answers[0]('listens');
  await settle();
  answers[1]('refuses');
  expect(await Promise.all([first, second])).toEqual(['listens', 'refuses']);
});

test('checks that are asked for during one probe share the next one', async () => {
  const {checks, answers} = createChecks();
  void checks.check('127.0.0.1:1');
  const waiting = [1, 2, 3].map(() => checks.check('127.0.0.1:1'));
  answers[0]('listens');
  await settle();
  answers[1]('refuses');
  expect(await Promise.all(waiting)).toEqual(['refuses', 'refuses', 'refuses']);
  expect(answers).toHaveLength(2);
});

test('a check after the end of a probe begins another one', async () => {
  const {checks, answers} = createChecks();
  const first = checks.check('127.0.0.1:1');
  answers[0]('listens');
  await first;
  const second = checks.check('127.0.0.1:1');
  answers[1]('refuses');
  expect(await second).toBe('refuses');
});

test('servers are probed independently of each other', async () => {
  const {checks, answers} = createChecks();
  const first = checks.check('127.0.0.1:1');
  const second = checks.check('127.0.0.1:2');
  answers[1]('refuses');
  answers[0]('listens');
  expect(await Promise.all([first, second])).toEqual(['listens', 'refuses']);
});
