/** Guards against rules of an older version whose timeout no timer can hold, which ended each request at once. */
import {expect, test} from 'vitest';
import {sendOk, startFixture} from '../support/backend_scripts';

test('a request whose route has a timeout of years is answered', async () => {
  const {fixture} = await startFixture(
    [arrived => setTimeout(() => sendOk('late')(arrived), 200)],
    {timeoutMs: 1e12},
  );
  expect(await fixture.send()).toMatchObject({status: 200, body: 'late'});
});
