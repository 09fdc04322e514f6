/** Makes one call to the dependencies of a request throw, counted from its start. */

type Method = (...args: unknown[]) => unknown;

/** Calls that return a slot: without their effect nothing could return it. */
const RELEASES = new Set(['recordRequestEnd', 'recordResponseStart']);

/** When the call throws: before it has any effect, or after its effect. */
type FaultMoment = 'before' | 'after';

/** Counts calls, and throws at one of them. */
export class FaultInjector {
  /** Name of the call that threw. */
  thrownAt: string | undefined;
  private calls = 0;
  private failsAt = Infinity;
  private moment: FaultMoment = 'after';

  private constructor() {}

  static create(): FaultInjector {
    return new FaultInjector();
  }

  /** Makes the call with this number throw, beginning with 1. */
  arm(failsAt: number, moment: FaultMoment): void {
    this.calls = 0;
    this.failsAt = failsAt;
    this.moment = moment;
    this.thrownAt = undefined;
  }

  disarm(): void {
    this.failsAt = Infinity;
  }

  /** Returns the object with all calls of its methods counted, those of its objects included. */
  wrap<T extends object>(dependency: T): T {
    return new Proxy(dependency, {
      get: (target, name) => {
        const value = Reflect.get(target, name) as unknown;
        if (typeof value === 'function') {
          return this.wrapMethod(target, String(name), value as Method);
        }
        const isObject = typeof value === 'object' && value !== null;
        return isObject && name in target ? this.wrap(value) : value;
      },
    });
  }

  private wrapMethod(target: object, name: string, method: Method): Method {
    return (...args) => {
      this.calls += 1;
      const isDue = this.calls === this.failsAt;
      const moment = RELEASES.has(name) ? 'after' : this.moment;
      if (isDue && moment === 'before') {
        this.throwAt(name);
      }
      const result = method.apply(target, args);
      if (isDue) {
        this.throwAt(name);
      }
      return result;
    };
  }

  private throwAt(name: string): never {
    this.thrownAt = name;
    throw new Error(`injected at ${name}`);
  }
}
