/**
 * Decides which part of a pool's hosts each model should have, by what callers ask
 * for. The load that it answers: one model's callers become more, or a fabric domain
 * is lost, and that model's groups are full while the other's stand half empty.
 */
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {estimateLateFraction} from './estimate_late_fraction';
import {computeDesiredGroups} from './compute_desired_groups';

const MS_PER_SECOND = 1_000;
/** Part of the time that a model does without one of its groups, so that a split must bear the next loss. */
const GROUP_AWAY_SHARE = 0.1;
/** A move that costs nothing by the figures still needs a reason. */
const LEAST_COST = 1;
/** With fewer groups the next loss would leave a model without any. */
const LEAST_GROUPS = 2;
/** What is moved may have to be moved back. */
const MOVES_TO_PAY = 2;
/** A look that comes later than this says nothing about the time between. */
const LONGEST_STEP_MS = 1_000;
/** Longer than a group takes to open, shorter than a load. */
const MOVE_WITHIN_MS = 3_000;

type Model = EngineProfile['models'][number];
type Demand = Readonly<Record<string, ModelDemand>>;

/** What one look is made from. */
interface FollowInput {
  /** As configured: its shares hold until there is demand. */
  readonly profile: EngineProfile;
  /** Engines that are well, counted by fabric domain. */
  readonly domains: readonly number[];
  readonly demand: Demand;
  readonly now: number;
  /** Hosts could be moved by these shares now, without a load: one takes longer than most bursts. */
  readonly canRebalance: (profile: EngineProfile, model: string) => boolean;
  /** Groups that a model has, those that are being formed or taken apart among them. */
  readonly countGroups: (model: string) => number;
}

/** Hosts of one model that another may get. */
interface Shift {
  readonly key: string;
  readonly from: Model;
  readonly to: Model;
  readonly profile: EngineProfile;
}

/** The split to plan by. */
interface FollowResult {
  readonly profile: EngineProfile;
  /** The model that groups of others are ended for now. */
  readonly recipientModel?: string;
  /** What was just changed. */
  readonly shifted?: {
    readonly from: string;
    readonly to: string;
    /** Answers that were late for want of it. */
    readonly missed: number;
  };
}

/** One for each pool. */
export class ShareAdjuster {
  private shares: ReadonlyMap<string, number> | undefined;
  /** Answers that were late because a shift was not made, by shift. */
  private readonly missed = new Map<string, number>();
  private lookedAt: number | undefined;
  /** The configured shares that it began with. */
  private configured: string | undefined;
  /** The model whose new hosts are not all there yet, and how long groups are ended for it. */
  private move: {readonly to: string; readonly until: number} | undefined;

  private constructor() {}

  /**
   * Creates one that goes by the configured shares.
   *
   * @example
   * const follower = ShareAdjuster.create();
   * const {profile} = follower.follow({profile: pool.engine, domains, demand, now, canMove, countGroups});
   */
  static create(): ShareAdjuster {
    return new ShareAdjuster();
  }

  /**
   * Tells the profile with the shares to plan by. They change one group at a time, once
   * as many answers were late for want of the change as it costs to make it and to
   * take it back; so neither a short burst nor noise moves hosts to and fro.
   */
  update(input: FollowInput): FollowResult {
    const {now} = input;
    const stepMs = Math.min(now - (this.lookedAt ?? now), LONGEST_STEP_MS);
    this.lookedAt = now;
    this.takeConfigured(input);
    const profile = this.createProfile(input.profile);
    const view = {...input, profile};
    if (!Object.values(input.demand).every(isKnown)) {
      return {profile};
    }
    const best = this.findBestShift(view, stepMs);
    if (!best) {
      return {profile, recipientModel: this.findMovesTo(view)};
    }
    const {from, to, key} = best;
    const missed = this.missed.get(key) ?? 0;
    this.missed.clear();
    this.setShares(best.profile);
    this.move = {to: to.name, until: now + MOVE_WITHIN_MS};
    return {
      profile: best.profile,
      recipientModel: to.name,
      shifted: {from: from.name, to: to.name, missed},
    };
  }

  /** Shares that an operator changed hold at once; a new leader goes on with the split that it finds. */
  private takeConfigured(input: FollowInput): void {
    const configured = JSON.stringify(
      input.profile.models.map(({name, size, share}) => [name, size, share]),
    );
    if (configured === this.configured) {
      return;
    }
    const isNew = this.configured === undefined;
    this.configured = configured;
    this.shares = undefined;
    this.move = undefined;
    this.missed.clear();
    if (isNew) {
      this.takeOver(input);
    }
  }

  /** Makes the shifts that the groups which are there show to have been made. */
  private takeOver({profile, domains, countGroups}: FollowInput): void {
    const total = profile.models.reduce(
      (sum, {name}) => sum + countGroups(name),
      0,
    );
    let split = profile;
    for (let step = 0; step < total; step += 1) {
      const usual = computeDesiredGroups(split, domains);
      const made = listShifts({profile: split, domains}).find(
        ({from, to}) =>
          countGroups(from.name) < (usual.get(from.name) ?? 0) &&
          countGroups(to.name) > (usual.get(to.name) ?? 0),
      );
      if (!made) {
        return;
      }
      split = made.profile;
      this.setShares(split);
    }
  }

  /** The shift that gains most of those that have become worth their cost. */
  private findBestShift(view: FollowInput, stepMs: number): Shift | undefined {
    const lateNow = computeLateOf(view);
    const worthy = listShifts(view).flatMap(shift => {
      const gain = lateNow - computeLateOf({...view, ...shift});
      const before = this.missed.get(shift.key) ?? 0;
      const missed = Math.max(0, before + (gain * stepMs) / MS_PER_SECOND);
      this.missed.set(shift.key, missed);
      const isWorthIt = gain > 0 && missed > computeCost(shift, view);
      return isWorthIt && view.canRebalance(shift.profile, shift.to.name)
        ? [{shift, gain}]
        : [];
    });
    return worthy.sort((left, right) => right.gain - left.gain)[0]?.shift;
  }

  /** A move may wait for a group that is being formed, but not until its reason is gone. */
  private findMovesTo(view: FollowInput): string | undefined {
    const {move} = this;
    if (!move) {
      return undefined;
    }
    const usual = computeDesiredGroups(view.profile, view.domains);
    const isMade = view.countGroups(move.to) >= (usual.get(move.to) ?? 0);
    if (isMade || view.now > move.until) {
      this.move = undefined;
    }
    return this.move?.to;
  }

  private setShares({models}: EngineProfile): void {
    this.shares = new Map(models.map(({name, share}) => [name, share]));
  }

  private createProfile(profile: EngineProfile): EngineProfile {
    const {shares} = this;
    return shares === undefined
      ? profile
      : {
          ...profile,
          models: profile.models.map(model => ({
            ...model,
            share: shares.get(model.name) ?? model.share,
          })),
        };
  }
}

/** How long answers are is known once the first ones have ended. */
function isKnown({requestsPerSecond, answerTokensPerSecond}: ModelDemand) {
  return requestsPerSecond === 0 || answerTokensPerSecond > 0;
}

/** Each model may give another the hosts of one of its groups, or of one of the other's. */
function listShifts({
  profile,
  domains,
}: Pick<FollowInput, 'profile' | 'domains'>): Shift[] {
  const {models} = profile;
  const total = models.reduce((sum, {share}) => sum + share, 0);
  const usual = computeDesiredGroups(profile, domains);
  const hosts = models.reduce(
    (sum, {name, size}) => sum + (usual.get(name) ?? 0) * size,
    0,
  );
  return models.flatMap(from =>
    models
      .filter(to => to.name !== from.name)
      .flatMap(to => {
        const moved = (total * Math.max(from.size, to.size)) / hosts;
        const given = Math.max(1, Math.ceil(to.size / from.size));
        const isLast = (usual.get(from.name) ?? 0) - given < LEAST_GROUPS;
        const shifted = models.map(model => {
          const change =
            Number(model.name === to.name) - Number(model.name === from.name);
          return {...model, share: model.share + change * moved};
        });
        const isPossible = shifted.every(({share}) => share > 0);
        const key = `${from.name} to ${to.name}`;
        return isLast || !isPossible
          ? []
          : [{key, from, to, profile: {...profile, models: shifted}}];
      }),
  );
}

/**
 * Late answers that a shift brings about until its hosts serve again, there and back.
 * What runs at the groups that end is finished before they do.
 */
function computeCost({from, to}: Shift, view: FollowInput): number {
  const {profile, domains, demand} = view;
  const usual = computeDesiredGroups(profile, domains);
  const own = usual.get(from.name) ?? 0;
  const given = Math.max(1, Math.ceil(to.size / from.size));
  const without = new Map(usual).set(from.name, own - given);
  const lostPerSecond =
    computeLate(profile, demand, without) - computeLate(profile, demand, usual);
  const seconds = (to.warmMs + profile.openMs) / MS_PER_SECOND;
  return MOVES_TO_PAY * Math.max(LEAST_COST, seconds * lostPerSecond);
}

function computeLateOf({profile, domains, demand}: FollowInput): number {
  return computeLate(profile, demand, computeDesiredGroups(profile, domains));
}

function computeLate(
  profile: EngineProfile,
  demandByModel: Demand,
  counts: ReadonlyMap<string, number>,
): number {
  return profile.models.reduce((sum, model) => {
    const demand = demandByModel[model.name];
    const groups = counts.get(model.name) ?? 0;
    if (!demand) {
      return sum;
    }
    const whole = estimateLateFraction({profile, model, demand, groups});
    // A group is away for seconds only: its answers are late then, and nothing piles up.
    const lacking = Math.min(
      1,
      estimateLateFraction({profile, model, demand, groups: groups - 1}),
    );
    const late = whole * (1 - GROUP_AWAY_SHARE) + lacking * GROUP_AWAY_SHARE;
    return sum + late * demand.requestsPerSecond;
  }, 0);
}
