import {EngineGroup} from '../../protocol/engine_group';

/** The kinds of order that an engine takes. */
type OrderKind = 'join' | 'open' | 'close' | 'leave' | 'stage';

/** One step towards the groups that are wanted. */
export type EngineAction =
  | {
      readonly type: 'set-group';
      readonly group: Omit<EngineGroup, 'epoch'>;
      readonly reason: string;
    }
  | {
      readonly type: 'end-group' | 'release-group' | 'remove-group';
      readonly name: string;
      readonly epoch: number;
      readonly reason: string;
      /** Nothing is lost: its hosts move to a better use. */
      readonly isMove?: boolean;
    }
  | {
      readonly type: 'order';
      readonly kind: OrderKind;
      readonly incarnation: string;
      readonly address: string;
      readonly group?: EngineGroup;
      /** Its group has one host and never opens; its epoch rises while the order waits. */
      readonly isPreload?: boolean;
      /** The model of a `join` or `stage`. */
      readonly model?: string;
      /** It reads weights from the store, where loads are limited. */
      readonly isLoad: boolean;
      readonly reason: string;
    };
