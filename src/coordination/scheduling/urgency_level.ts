/** The waiting requests of one urgency: in time before late, fair among workspaces, then by latest start. */
import {SortedList} from './sorted_list';
import {WaitingRequest} from './waiting_request';

/**
 * A late request begins before those in time of its level when its caller
 * disconnects within this time; a quarter of the shortest wait of a caller.
 */
const DUE_MS = 500;
/** With more workspaces than this their requests are not counted one workspace at a time. */
const MAX_EXACT_FLOWS = 64;
/** Finish tags of idle workspaces that are kept in any case. */
const MIN_IDLE_TAGS = 1_000;

interface Entry<T extends WaitingRequest> {
  readonly request: T;
  readonly sequence: number;
  readonly flow: Flow<T>;
  isLate: boolean;
}

/** The requests of one workspace. */
interface Flow<T extends WaitingRequest> {
  readonly workspace: string;
  readonly sequence: number;
  /** Start tag of its next request, in virtual milliseconds. */
  tag: number;
  /** Work of its waiting requests. */
  workMs: number;
  readonly inTime: SortedList<Entry<T>>;
  readonly late: SortedList<Entry<T>>;
}

/** Start-time fair queueing among workspaces; a request's own size does not delay it. */
export class UrgencyLevel<T extends WaitingRequest> {
  private readonly entries = new Map<T, Entry<T>>();
  private readonly flows = new Map<string, Flow<T>>();
  /** Finish tags of workspaces without waiting requests. */
  private readonly idleTags = new Map<string, number>();
  private readonly inTimeFlows = SortedList.create<Flow<T>>(compareFlows);
  private readonly lateFlows = SortedList.create<Flow<T>>(compareFlows);
  private readonly inTime = SortedList.create<Entry<T>>(compareLatestStart);
  private readonly late = SortedList.create<Entry<T>>(compareExpiry);
  /** Work of all waiting requests. */
  private workMs = 0;
  private maxIdleTags = MIN_IDLE_TAGS;
  private virtualTime = 0;
  private sequence = 0;

  private constructor() {}

  /**
   * Creates a level without requests.
   *
   * @example
   * const level = UrgencyLevel.create<WaitingRequest>();
   */
  static create<T extends WaitingRequest>(): UrgencyLevel<T> {
    return new UrgencyLevel<T>();
  }

  get size(): number {
    return this.entries.size;
  }

  /** Waiting requests that come before late ones of all levels, as of the last `advance`. */
  get inTimeCount(): number {
    return this.inTime.size;
  }

  add(request: T, now: number): void {
    if (this.entries.has(request)) {
      return;
    }
    this.sequence += 1;
    const flow = this.flows.get(request.workspace) ?? this.createFlow(request);
    this.flows.set(request.workspace, flow);
    const isLate = request.latestStartAt < now;
    const entry = {request, sequence: this.sequence, flow, isLate};
    flow.workMs += request.workMs;
    this.workMs += request.workMs;
    this.entries.set(request, entry);
    this.addToLists(entry);
  }

  /** Removes a request that will not begin, or not yet. */
  remove(request: T): boolean {
    const entry = this.entries.get(request);
    if (!entry) {
      return false;
    }
    this.entries.delete(request);
    this.removeFromLists(entry);
    const {flow} = entry;
    flow.workMs -= request.workMs;
    this.workMs -= request.workMs;
    if (flow.inTime.size + flow.late.size === 0) {
      this.flows.delete(flow.workspace);
      this.idleTags.set(flow.workspace, flow.tag);
      this.dropOldTags();
    }
    return true;
  }

  /** Removes a request that begins, and charges its workspace for it. */
  start(request: T): void {
    const flow = this.entries.get(request)?.flow;
    if (!flow) {
      return;
    }
    this.virtualTime = Math.max(this.virtualTime, flow.tag);
    const lists = [this.inTimeFlows, this.lateFlows];
    const listed = lists.filter(list => list.remove(flow));
    flow.tag += request.workMs;
    listed.forEach(list => list.add(flow));
    this.remove(request);
  }

  /** Takes note of the requests that can only be late from now on. */
  advance(now: number): void {
    for (
      let entry = this.inTime.first;
      entry && entry.request.latestStartAt < now;
      entry = this.inTime.first
    ) {
      this.removeFromLists(entry);
      entry.isLate = true;
      this.addToLists(entry);
    }
  }

  /** Returns the next request among those in time and late ones that are due. */
  findFirstInTime(now: number): T | undefined {
    const oldest = this.late.first?.request;
    if (oldest && oldest.expiresAt - now < DUE_MS) {
      return oldest;
    }
    return this.inTimeFlows.first?.inTime.first?.request;
  }

  findFirstLate(): T | undefined {
    return this.lateFlows.first?.late.first?.request;
  }

  /**
   * Estimates how many waiting requests of this level begin before this one:
   * those of its workspace, and of each other workspace what fair queueing
   * serves meanwhile.
   *
   * @param isInTime leaves out late requests that are not due
   */
  countAhead(request: T, isInTime: boolean, now: number): number {
    const read = ({inTime, late}: Flow<T>) =>
      inTime.size + (isInTime ? 0 : late.size);
    const own = this.flows.get(request.workspace);
    const tag = own?.tag ?? this.findStartTag(request.workspace);
    const startTag = tag + (own?.workMs ?? 0);
    const ownCount = own ? read(own) : 0;
    const ahead =
      this.flows.size > MAX_EXACT_FLOWS
        ? ownCount + this.estimateOthersAhead(startTag, own)
        : this.listFlowsBefore(startTag, own).reduce(
            (sum, flow) =>
              sum + Math.min(read(flow), countServed(flow, startTag)),
            ownCount,
          );
    return isInTime ? ahead + this.countDue(request, now) : ahead;
  }

  private listFlowsBefore(
    startTag: number,
    own: Flow<T> | undefined,
  ): Array<Flow<T>> {
    return [...this.flows.values()].filter(
      flow => flow !== own && flow.tag <= startTag,
    );
  }

  /** Takes all other workspaces for alike, with tags as early as possible. */
  private estimateOthersAhead(
    startTag: number,
    own: Flow<T> | undefined,
  ): number {
    const others = this.flows.size - (own ? 1 : 0);
    const ownCount = own ? own.inTime.size + own.late.size : 0;
    const meanMs = this.workMs / this.entries.size;
    const rounds = Math.floor((startTag - this.virtualTime) / meanMs) + 1;
    return Math.min(this.entries.size - ownCount, others * rounds);
  }

  private countDue(request: T, now: number): number {
    const limit = {...request, expiresAt: now + DUE_MS};
    return this.late.countBefore({
      request: limit,
      sequence: -1,
    } as unknown as Entry<T>);
  }

  private createFlow({workspace}: T): Flow<T> {
    const tag = this.findStartTag(workspace);
    this.idleTags.delete(workspace);
    const lists = {
      inTime: SortedList.create<Entry<T>>(compareLatestStart),
      late: SortedList.create<Entry<T>>(compareLatestStart),
    };
    return {workspace, sequence: this.sequence, tag, workMs: 0, ...lists};
  }

  private findStartTag(workspace: string): number {
    return Math.max(this.virtualTime, this.idleTags.get(workspace) ?? 0);
  }

  /** Removes tags that lie in the past once the number of all has doubled, so that not every request scans them. */
  private dropOldTags(): void {
    if (this.idleTags.size > this.maxIdleTags) {
      for (const [workspace, tag] of this.idleTags) {
        if (tag <= this.virtualTime) {
          this.idleTags.delete(workspace);
        }
      }
      this.maxIdleTags = Math.max(MIN_IDLE_TAGS, 2 * this.idleTags.size);
    }
  }

  private addToLists(entry: Entry<T>): void {
    const {flow, isLate} = entry;
    const list = isLate ? flow.late : flow.inTime;
    if (list.size === 0) {
      (isLate ? this.lateFlows : this.inTimeFlows).add(flow);
    }
    list.add(entry);
    (isLate ? this.late : this.inTime).add(entry);
  }

  private removeFromLists(entry: Entry<T>): void {
    const {flow, isLate} = entry;
    const list = isLate ? flow.late : flow.inTime;
    list.remove(entry);
    (isLate ? this.late : this.inTime).remove(entry);
    if (list.size === 0) {
      (isLate ? this.lateFlows : this.inTimeFlows).remove(flow);
    }
  }
}

type Place = Pick<Entry<WaitingRequest>, 'request' | 'sequence'>;
type FlowPlace = Pick<Flow<WaitingRequest>, 'tag' | 'sequence'>;

/** Counts the requests of another workspace that begin before this tag; one with an equal tag may. */
function countServed<T extends WaitingRequest>(
  {tag, workMs, inTime, late}: Flow<T>,
  startTag: number,
): number {
  const meanMs = workMs / (inTime.size + late.size);
  return meanMs > 0 ? Math.floor((startTag - tag) / meanMs) + 1 : Infinity;
}

function compareFlows(a: FlowPlace, b: FlowPlace): number {
  return a.tag - b.tag || a.sequence - b.sequence;
}

function compareLatestStart(a: Place, b: Place): number {
  const difference = a.request.latestStartAt - b.request.latestStartAt;
  return difference || a.sequence - b.sequence;
}

function compareExpiry(a: Place, b: Place): number {
  return a.request.expiresAt - b.request.expiresAt || a.sequence - b.sequence;
}
