/**
 * Guards against a configuration that names a service, or a model of one, twice: gateways
 * use the first alone, and the planner orders the same hosts by each of them in turn.
 */
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/decode_configuration';
import {pageExamples} from '../support/page_examples';

const {configuration} = pageExamples;

describe('a configuration is refused', () => {
  test('with two services of one name', () => {
    const [service] = configuration.services;
    const services = [...configuration.services, {...service}];

    expect(() =>
      decodeConfiguration(JSON.stringify({...configuration, services})),
    ).toThrow(service.name);
  });

  test('with two models of one name in a service', () => {
    const at = configuration.services.findIndex(
      service => 'engine' in service && service.engine,
    );
    const services = structuredClone(configuration.services) as Array<{
      engine: {models: Array<{name: string}>};
    }>;
    const {models} = services[at].engine;
    models.push({...models[0]});

    expect(() =>
      decodeConfiguration(JSON.stringify({...configuration, services})),
    ).toThrow(models[0].name);
  });
});
