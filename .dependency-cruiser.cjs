/** The layers of docs/ARCHITECTURE.md: an import may only point downwards. */
const LAYERS = [
  {name: 'transport', below: []},
  {name: 'protocol', below: ['transport']},
  {name: 'coordination', below: ['protocol']},
  {name: 'state', below: ['coordination', 'protocol']},
];

/** Rooms of the gateway and the rooms that each may import; the types in src/gateway itself are free to all. */
const GATEWAY_ROOMS = [
  {name: 'routing', uses: []},
  {name: 'limits', uses: []},
  {name: 'crashes', uses: []},
  {name: 'retries', uses: []},
  {name: 'scheduling', uses: ['routing']},
  {name: 'responses', uses: ['routing', 'scheduling']},
  {name: 'control', uses: ['routing', 'limits']},
];

const everything = ['transport', 'protocol', 'coordination', 'state'];
const programs = [
  'config',
  'reporting',
  'control',
  'host',
  'entry',
  'gateway',
  'operator',
  'bin',
];

module.exports = {
  forbidden: [
    {name: 'no-circular', severity: 'error', from: {}, to: {circular: true}},
    ...LAYERS.map(layer => ({
      name: `layer-${layer.name}`,
      comment: `${layer.name} may import only: ${['common', ...layer.below].join(', ')}`,
      severity: 'error',
      from: {path: `^src/${layer.name}/`},
      to: {
        path: `^src/(${[...everything, ...programs].filter(other => other !== layer.name && !layer.below.includes(other)).join('|')})/`,
      },
    })),
    {
      name: 'common-is-the-floor',
      severity: 'error',
      from: {path: '^src/common/'},
      to: {path: '^src/(?!common/)'},
    },
    {
      name: 'programs-stand-apart',
      comment:
        'control, host, entry and operator share code only through the layers',
      severity: 'error',
      from: {path: '^src/(control|host|entry|gateway|operator)/'},
      to: {
        path: '^src/(control|host|entry|gateway|operator|bin)/',
        pathNot: '^src/$1/',
      },
    },
    {
      name: 'rooms-stand-apart',
      comment:
        'decisions about requests, their scheduling, limits, groups of hosts and agreement do not know each other',
      severity: 'error',
      from: {
        path: '^src/coordination/(agreement|groups|limits|requests|scheduling)/',
      },
      to: {
        path: '^src/coordination/(agreement|groups|limits|requests|scheduling)/',
        pathNot: '^src/coordination/$1/',
      },
    },
    ...GATEWAY_ROOMS.map(room => ({
      name: `gateway-${room.name}`,
      comment: `the room ${room.name} of the gateway may import only: ${['itself', ...room.uses].join(', ')}`,
      severity: 'error',
      from: {path: `^src/gateway/${room.name}/`},
      to: {
        path: `^src/gateway/(${GATEWAY_ROOMS.map(({name}) => name)
          .filter(name => name !== room.name && !room.uses.includes(name))
          .join('|')})/`,
      },
    })),
    {
      name: 'nothing-knows-the-platform',
      comment: 'platform/ translates; the product does not know it',
      severity: 'error',
      from: {path: '^(src|bench|demo|tools)/'},
      to: {path: '^platform/'},
    },
    {
      name: 'source-knows-no-tests',
      severity: 'error',
      from: {path: '^src/'},
      to: {path: '^(test|demo|bench|tools)/'},
    },
  ],
  options: {
    doNotFollow: {path: 'node_modules'},
    tsConfig: {fileName: 'tsconfig.json'},
    tsPreCompilationDeps: true,
  },
};
