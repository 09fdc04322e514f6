import {expect, test} from 'vitest';
import {findHeadFault} from '../../src/transport/find_head_fault';

test.each([
  ['/a/b?c=%09', undefined],
  ['/\xe9', undefined],
  ['/a\tb', 'path'],
  ['/a\fb', 'path'],
  ['/a b', 'path'],
])('the target %j is refused where HTTP forbids it', (url, fault) => {
  const found = findHeadFault({rawHeaders: ['host', 'h'], url});

  if (fault === undefined) {
    expect(found).toBeUndefined();
  } else {
    expect(found).toContain(fault);
  }
});
