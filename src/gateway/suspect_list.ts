/** Which requests this gateway must hold back: what control tells, and what it saw itself and control may not know yet. */
import {SuspectUpdate} from '../protocol/suspect_update';
import {RequestIdentity} from './request_identity';

/** Own observations that control has not judged; it judges within a round trip, or is away. */
const MAX_OWN = 256;

/** What a gateway may do with a request. */
type Standing = 'free' | 'suspected' | 'convicted';

/** Looked at for every request. */
export class SuspectList {
  private readonly told = new Map<string, Standing>();
  private readonly own = new Set<string>();
  /** Callers of whom anything is held back: bodies of others are never digested. */
  private callers = new Set<string>();
  private toldVersion = 0;

  private constructor() {}

  /**
   * Creates an empty list.
   *
   * @example
   * const list = SuspectList.create();
   * list.find(identity); // 'free'
   */
  static create(): SuspectList {
    return new SuspectList();
  }

  /** The newest list of control that is held here. */
  get version(): number {
    return this.toldVersion;
  }

  /** What this gateway may do with a request. */
  find(identity: RequestIdentity): Standing {
    if (this.callers.size === 0 || !this.callers.has(identity.caller)) {
      return 'free';
    }
    const {name} = identity;
    return this.told.get(name) ?? (this.own.has(name) ? 'suspected' : 'free');
  }

  /** Takes what control tells; a list that is older than what is held changes nothing. */
  apply(news: SuspectUpdate): void {
    if (news.version < this.toldVersion) {
      return;
    }
    if (news.isWhole) {
      this.told.clear();
    }
    news.suspected.forEach(name => this.told.set(name, 'suspected'));
    news.convicted.forEach(name => this.told.set(name, 'convicted'));
    news.freed.forEach(name => this.told.delete(name));
    this.toldVersion = news.version;
    this.indexCallers();
  }

  /** Holds a request back until control has judged it. */
  add(name: string): void {
    this.own.add(name);
    const [oldest] = this.own;
    if (this.own.size > MAX_OWN) {
      this.own.delete(oldest);
    }
    this.indexCallers();
  }

  /** Control has judged; its list may come later. */
  markConvicted(name: string): void {
    this.told.set(name, 'convicted');
    this.indexCallers();
  }

  /** Control holds nothing against it, or it ran to its end. */
  remove(name: string): void {
    this.own.delete(name);
    this.told.delete(name);
    this.indexCallers();
  }

  private indexCallers(): void {
    this.callers = new Set(
      [...this.told.keys(), ...this.own].map(RequestIdentity.readCaller),
    );
  }
}
