'use strict';
/* global Buffer, module, require, setTimeout */
/** A model replica: takes orders about groups and tells its state, as the platform's pages say. */
const {Replica} = require('./replica');

const JOIN_AGAIN_MS = 200;

class Engine extends Replica {
  /**
   * @param options as of a replica, and `domain`, `staged`, `engine` (the service's figures)
   *     and `fleet`, all engines by id
   */
  constructor(deployment, options) {
    super(deployment, options);
    const {domain, staged, engine, fleet} = options;
    Object.assign(this, {domain, staged: [...staged], engine, fleet});
    this.orders = 0;
    this.fence = 0;
    this.newestEpoch = 0;
    this.group = undefined;
    this.members = [];
    this.model = undefined;
    this.isAlive = true;
    fleet.set(this.id, this);
  }

  describeState() {
    return {
      stage: 'unified',
      models: this.model ? [{name: this.model, version: 1, adapters: []}] : [],
      domain: this.domain,
      staged: this.staged,
      ...(this.group && {group: this.group}),
    };
  }

  describe() {
    const {cold_remaining_ms: cold, ...beat} = JSON.parse(super.describe());
    return JSON.stringify({
      ...beat,
      cold_remaining_ms: cold,
      ...this.describeState(),
    });
  }

  handle(message, response, body) {
    if (message.url === '/v1/report') {
      sendJson(response, 200, {
        ...this.describeState(),
        busy: false,
        sequence: this.orders,
        queued: 0,
        running: this.running,
        kv_used: 0,
        kv_total: this.engine.kv_tokens,
        handles: 0,
      });
    } else if (message.url === '/v1/order') {
      const isOther =
        (message.headers['x-whinreel-expect-instance'] ?? this.id) !== this.id;
      const order = JSON.parse(body.toString());
      const status = isOther ? 421 : this.takeOrder(order);
      const {operation, group, epoch, members = []} = order;
      this.deployment.log(
        `${this.id} ordered to ${operation} ${group ?? ''} ${epoch ?? ''} ${members.join(' ')}: ${status}`,
      );
      sendJson(response, status, {});
    } else {
      super.handle(message, response, body);
    }
  }

  takeOrder(order) {
    if (order.fence < this.fence) {
      return 412;
    }
    this.fence = order.fence;
    if (order.expected_revision !== this.orders) {
      return 409;
    }
    const handlers = {
      join: () => this.join(order),
      open: () => this.open(order),
      close: () => this.close(order),
      leave: () => this.leave(order),
      stage: () => this.stage(order),
    };
    return handlers[order.operation]?.() ?? 400;
  }

  join({group, epoch, model, members}) {
    const isSame = this.isIn({group, epoch});
    if (isSame && members.join() === this.members.join()) {
      return 200;
    }
    if (epoch < this.newestEpoch || isSame) {
      return 412;
    }
    this.checkHead(group, epoch);
    this.orders += 1;
    this.newestEpoch = epoch;
    this.members = members;
    const rank = members.indexOf(this.id);
    const joined = {name: group, epoch, rank, state: 'joining'};
    this.group = joined;
    const {warm_s: warm, load_s: load} = this.engine.models.find(
      ({name}) => name === model,
    );
    const loadMs = this.staged.includes(model) ? warm * 1000 : load * 1000;
    const isLoaded = this.model === model;
    this.model = isLoaded ? model : undefined;
    this.later(isLoaded ? JOIN_AGAIN_MS : loadMs, joined, () => {
      this.model = model;
      if (!this.staged.includes(model)) {
        this.staged = [model];
      }
      this.change({state: 'ready'});
    });
    void this.register();
    return 202;
  }

  /** TWO: this engine accepts a join of another group while its group's head is open or closing. */
  checkHead(group, epoch) {
    const before = this.group;
    const head = this.fleet.get(this.members[0]);
    const isHeadServing =
      before !== undefined &&
      head?.isAlive === true &&
      head.isIn({group: before.name, epoch: before.epoch}) &&
      ['open', 'closing'].includes(head.group.state);
    if (isHeadServing && head !== this) {
      this.violation = `${this.id} accepted a join of ${group} ${epoch} while the head ${head.id} of its group ${before.name} ${before.epoch} was ${head.group.state}`;
      this.deployment.log(`TWO: ${this.violation}`);
    }
  }

  open(order) {
    if (!this.isIn(order) || this.group.rank !== 0) {
      return 409;
    }
    if (this.group.state === 'open') {
      return 200;
    }
    if (this.group.state !== 'ready') {
      return 409;
    }
    this.orders += 1;
    this.later(this.engine.form_ms, this.group, () =>
      this.change({state: 'open'}),
    );
    return 202;
  }

  close(order) {
    if (!this.isIn(order)) {
      return 409;
    }
    if (this.group.state !== 'open') {
      return 200;
    }
    this.orders += 1;
    this.change({state: 'ready'});
    return 202;
  }

  leave(order) {
    if (!this.isIn(order)) {
      return 200;
    }
    this.orders += 1;
    this.group = undefined;
    this.members = [];
    void this.register();
    return 200;
  }

  stage({model}) {
    if (this.staged.includes(model)) {
      return 200;
    }
    this.orders += 1;
    const {load_s: load} = this.engine.models.find(({name}) => name === model);
    setTimeout(() => {
      this.staged = [model];
      void this.register();
    }, load * 1000);
    return 202;
  }

  isIn({group, epoch}) {
    return this.group?.name === group && this.group.epoch === epoch;
  }

  /** Acts after a time, unless the membership has changed meanwhile. */
  later(ms, membership, action) {
    const {name, epoch} = membership;
    setTimeout(() => {
      if (this.isAlive && this.isIn({group: name, epoch})) {
        action();
      }
    }, ms);
  }

  /** Changes the state in the group, and tells it at once. */
  change(changes) {
    this.group = {...this.group, ...changes};
    this.deployment.log(
      `${this.id} is ${this.group.state} in ${this.group.name} ${this.group.epoch} (rank ${this.group.rank})`,
    );
    void this.register();
  }

  crash() {
    this.isAlive = false;
    this.deployment.log(`${this.id} crashes`);
    this.stop();
  }
}

function sendJson(response, status, value) {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(body.length),
  });
  response.end(body);
}

module.exports = {Engine};
