/**
 * A typed event: a change of state or a decision that somebody may ask about
 * later. Reporters consume it; core code never prints.
 */
export interface SystemEvent {
  /** What happened, in kebab case, for example `group-formed`. */
  readonly type: string;
  /** The kind of thing that it happened to. */
  readonly subject:
    'request' | 'group' | 'host' | 'bundle' | 'control' | 'claim' | 'process';
  /** Which one of that kind. */
  readonly id: string;
  /** Why, in one sentence for an operator. */
  readonly reason: string;
  /** Figures that the decision was made from. */
  readonly details?: Readonly<Record<string, string | number | boolean>>;
}
