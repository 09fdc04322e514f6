/**
 * Adjusts the models' shares of a pool's hosts to demand. It handles two cases in
 * which one model's groups are overloaded while another's are half idle: a rise of
 * one model's traffic, and the loss of a fabric domain.
 */
import {getOwn} from '../../common/get_own';
import {EngineProfile} from '../../protocol/engine_profile';
import {ModelDemand} from '../../protocol/model_demand';
import {computeDesiredGroups} from './compute_desired_groups';
import {computeSplitCost} from './compute_split_cost';

const MS_PER_SECOND = 1_000;
/** Minimum cost of a shift in late answers, so that one with an estimate of zero still needs evidence. */
const MIN_SHIFT_COST = 1;
/** Late answers a second that a shift has to save if it moves no hosts. */
const MIN_FREE_GAIN = 0.05;
/** With fewer groups, the next loss would leave a model without any. */
const MIN_GROUPS = 2;
/** A shift may have to be reverted, so its cost includes both moves. */
const MOVES_PER_SHIFT = 2;
/** Longest interval between two updates that counts; a demand sample says nothing about a longer one. */
const MAX_STEP_MS = 1_000;
/** Time after which a shift no longer ends groups; longer than a group takes to open, shorter than a load. */
const MOVE_TIMEOUT_MS = 3_000;

type Model = EngineProfile['models'][number];
type Demand = Readonly<Record<string, ModelDemand>>;

/** Input of one update. */
interface UpdateInput {
  /** The configured profile; its shares apply until there is demand. */
  readonly profile: EngineProfile;
  /** Number of healthy engines in each fabric domain. */
  readonly domains: readonly number[];
  readonly demand: Demand;
  /** Weight of a request by model; absent where urgency does not count. */
  readonly weights?: ReadonlyMap<string, number>;
  readonly now: number;
  /** Checks whether hosts could be moved for these shares now and without a load, which outlasts most bursts. */
  readonly canRebalance: (profile: EngineProfile, model: string) => boolean;
  /** Counts the groups of a model, including those that are forming or ending. */
  readonly countGroups: (model: string) => number;
}

/** A candidate transfer of hosts from one model to another. */
interface Shift {
  readonly key: string;
  readonly from: Model;
  readonly to: Model;
  readonly profile: EngineProfile;
}

/** The shares to plan with. */
interface UpdateResult {
  readonly profile: EngineProfile;
  /** Model for which groups of other models are ended at present. */
  readonly recipientModel?: string;
  /** The shift that was just made. */
  readonly shifted?: {
    readonly from: string;
    readonly to: string;
    /** Answers that were late because it had not been made. */
    readonly missed: number;
  };
}

/** Adjusts the shares of one pool. */
export class ShareAdjuster {
  private shares: ReadonlyMap<string, number> | undefined;
  /** Answers that were late because a shift had not been made, by shift key. */
  private readonly missed = new Map<string, number>();
  private updatedAt: number | undefined;
  /** The configured models in JSON, to detect changes. */
  private configured: string | undefined;
  /** Model that still lacks hosts of its last shift, and how long groups are ended for it. */
  private pendingMove:
    {readonly to: string; readonly until: number} | undefined;

  private constructor() {}

  /**
   * Creates an adjuster that starts from the configured shares.
   *
   * @example
   * const adjuster = ShareAdjuster.create();
   * const {profile} = adjuster.update({profile: pool.engine, domains, demand, now, canRebalance, countGroups});
   */
  static create(): ShareAdjuster {
    return new ShareAdjuster();
  }

  /**
   * Returns the profile with the shares to plan with. They change by one group at a
   * time, and only once the answers that were late without the shift outnumber those
   * that making and reverting it would delay. So neither short bursts nor noise make
   * hosts oscillate.
   */
  update(input: UpdateInput): UpdateResult {
    const {now} = input;
    const stepMs = Math.min(now - (this.updatedAt ?? now), MAX_STEP_MS);
    this.updatedAt = now;
    this.applyConfigured(input);
    const profile = this.createProfile(input.profile);
    const view = {...input, profile};
    if (!isDemandKnown(input)) {
      return {profile};
    }
    const best = this.findBestShift(view, stepMs);
    if (!best) {
      return {profile, recipientModel: this.findRecipient(view)};
    }
    const {from, to, key} = best;
    const missed = this.missed.get(key) ?? 0;
    this.missed.clear();
    this.setShares(best.profile);
    this.pendingMove = {to: to.name, until: now + MOVE_TIMEOUT_MS};
    return {
      profile: best.profile,
      recipientModel: to.name,
      shifted: {from: from.name, to: to.name, missed},
    };
  }

  /** Applies changed configured shares at once; a new leader continues with the shares that the groups show. */
  private applyConfigured(input: UpdateInput): void {
    const configured = JSON.stringify(
      input.profile.models.map(({name, size, share}) => [name, size, share]),
    );
    if (configured === this.configured) {
      return;
    }
    const isNew = this.configured === undefined;
    this.configured = configured;
    this.shares = undefined;
    this.pendingMove = undefined;
    this.missed.clear();
    if (isNew) {
      this.restoreShares(input);
    }
  }

  /** Infers from the existing groups which shifts a former leader made, and applies them. */
  private restoreShares({profile, domains, countGroups}: UpdateInput): void {
    const total = profile.models.reduce(
      (sum, {name}) => sum + countGroups(name),
      0,
    );
    let adjusted = profile;
    for (let step = 0; step < total; step += 1) {
      const desiredGroups = computeDesiredGroups(adjusted, domains);
      const shiftMade = listShifts({profile: adjusted, domains}).find(
        ({from, to}) =>
          countGroups(from.name) < (desiredGroups.get(from.name) ?? 0) &&
          countGroups(to.name) > (desiredGroups.get(to.name) ?? 0),
      );
      if (!shiftMade) {
        return;
      }
      adjusted = shiftMade.profile;
      this.setShares(adjusted);
    }
  }

  /** Finds the shift with the highest gain among those whose absence made more answers late than they would. */
  private findBestShift(view: UpdateInput, stepMs: number): Shift | undefined {
    const lateNow = computeLateOfView(view);
    const justified = listShifts(view).flatMap(shift => {
      const gain = lateNow - computeLateOfView({...view, ...shift});
      const before = this.missed.get(shift.key) ?? 0;
      const missed = Math.max(0, before + (gain * stepMs) / MS_PER_SECOND);
      this.missed.set(shift.key, missed);
      if (isFree(shift, view) && gain > MIN_FREE_GAIN) {
        return [{shift, gain}];
      }
      const isJustified = gain > 0 && missed > computeShiftCost(shift, view);
      return isJustified && view.canRebalance(shift.profile, shift.to.name)
        ? [{shift, gain}]
        : [];
    });
    return justified.sort((left, right) => right.gain - left.gain)[0]?.shift;
  }

  /** Returns the model of the pending move. A move may wait for a forming group, but only for a limited time. */
  private findRecipient(view: UpdateInput): string | undefined {
    const {pendingMove} = this;
    if (!pendingMove) {
      return undefined;
    }
    const desiredGroups = computeDesiredGroups(view.profile, view.domains);
    const isMade =
      view.countGroups(pendingMove.to) >=
      (desiredGroups.get(pendingMove.to) ?? 0);
    if (isMade || view.now > pendingMove.until) {
      this.pendingMove = undefined;
    }
    return this.pendingMove?.to;
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

/** Where urgency counts, requests for models of other pools do not delay the first shift. */
function isDemandKnown({profile, demand, weights}: UpdateInput): boolean {
  const demands = weights
    ? profile.models.flatMap(({name}) => getOwn(demand, name) ?? [])
    : Object.values(demand);
  return demands.every(isKnown);
}

/**
 * Checks whether a shift only decides which groups form next, because the donor has no
 * more groups than it keeps, as after a loss. Without it, a donor would form groups
 * again that have to be ended later.
 */
function isFree({from, profile}: Shift, view: UpdateInput): boolean {
  const desiredGroups = computeDesiredGroups(profile, view.domains);
  const groups = view.countGroups(from.name);
  return (
    view.weights !== undefined &&
    groups > 0 &&
    groups <= (desiredGroups.get(from.name) ?? 0)
  );
}

/** The length of answers is known once the first ones have ended. */
function isKnown({requestsPerSecond, answerTokensPerSecond}: ModelDemand) {
  return requestsPerSecond === 0 || answerTokensPerSecond > 0;
}

/** Lists the possible shifts. Each transfers the hosts of one group, of the larger of both models' sizes. */
function listShifts({
  profile,
  domains,
}: Pick<UpdateInput, 'profile' | 'domains'>): Shift[] {
  const {models} = profile;
  const total = models.reduce((sum, {share}) => sum + share, 0);
  const desiredGroups = computeDesiredGroups(profile, domains);
  const hosts = models.reduce(
    (sum, {name, size}) => sum + (desiredGroups.get(name) ?? 0) * size,
    0,
  );
  return models.flatMap(from =>
    models
      .filter(to => to.name !== from.name)
      .flatMap(to => {
        const movedShare = (total * Math.max(from.size, to.size)) / hosts;
        const donatedGroups = Math.max(1, Math.ceil(to.size / from.size));
        const leavesTooFew =
          (desiredGroups.get(from.name) ?? 0) - donatedGroups < MIN_GROUPS;
        const shifted = models.map(model => {
          const change =
            Number(model.name === to.name) - Number(model.name === from.name);
          return {...model, share: model.share + change * movedShare};
        });
        const isPossible = shifted.every(({share}) => share > 0);
        const key = `${from.name} to ${to.name}`;
        return leavesTooFew || !isPossible
          ? []
          : [{key, from, to, profile: {...profile, models: shifted}}];
      }),
  );
}

/**
 * Computes how many answers a shift makes late until its hosts serve again, for the
 * move and its reversal. Ending groups finish their running requests first.
 */
function computeShiftCost({from, to}: Shift, view: UpdateInput): number {
  const {profile, domains} = view;
  const desiredGroups = computeDesiredGroups(profile, domains);
  const donorGroups = desiredGroups.get(from.name) ?? 0;
  const donatedGroups = Math.max(1, Math.ceil(to.size / from.size));
  const duringMove = new Map(desiredGroups).set(
    from.name,
    donorGroups - donatedGroups,
  );
  const lostPerSecond =
    computeLatePerSecond(view, duringMove) -
    computeLatePerSecond(view, desiredGroups);
  const seconds = (to.warmMs + profile.openMs) / MS_PER_SECOND;
  return MOVES_PER_SHIFT * Math.max(MIN_SHIFT_COST, seconds * lostPerSecond);
}

function computeLateOfView(view: UpdateInput): number {
  return computeLatePerSecond(
    view,
    computeDesiredGroups(view.profile, view.domains),
  );
}

function computeLatePerSecond(
  {profile, domains, demand, weights}: UpdateInput,
  counts: ReadonlyMap<string, number>,
): number {
  const domainCount = domains.length;
  return computeSplitCost({profile, demand, counts, domainCount, weights});
}
