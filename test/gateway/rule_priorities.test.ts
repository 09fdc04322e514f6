import {describe, expect, test} from 'vitest';
import {RouteIndex} from '../../src/gateway/routing/route_index';

describe('the priorities of the rules', () => {
  const route = {
    name: 'r',
    host: 'h',
    pathPrefix: '/',
    kind: 'safe' as const,
    timeoutMs: 1,
    objectiveMs: 1,
    priority: 1,
    targets: [{pool: 'p', weight: 1}],
    maxAttempts: 1,
    isAnonymous: true,
    isResumable: false,
  };
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const workspace = {name: 'w', keyHashes: []};

  // Guards against a priority header in deployments whose rules do not use priorities.
  test.each([
    ['routes with one priority', [1, 1], undefined, false],
    ['routes with two priorities', [1, 2], undefined, true],
    ['a workspace with the priority of the routes', [1], 1, false],
    ['a workspace with another priority', [1], 0, true],
  ])('differ or not: %s', (_what, priorities, priority, expected) => {
    const index = RouteIndex.create({
      version: 1,
      routes: priorities.map(each => ({...route, priority: each})),
      pools: [],
      workspaces: [{...workspace, priority}],
      limits,
    });

    expect(index.hasPriorities).toBe(expected);
  });
});
