import { NEVER, type Incarnation, type Millis } from '@turmerichoist/core';

/** The session under which this member holds its grants. */
export class GrantSession {
  #incarnation: Incarnation = '';
  #formerIncarnations: readonly Incarnation[] = [];
  /** Former incarnations are adopted only after the limiter has applied this publication. */
  #adoptSerial = 0;
  #validUntil: Millis = NEVER;
  #outageUntil: Millis = NEVER;

  get incarnation(): Incarnation {
    return this.#incarnation;
  }

  /** Time until which units may be used: that of the session, or of the outage rule if later. */
  get usableUntil(): Millis {
    return Math.max(this.#validUntil, this.#outageUntil);
  }

  /** Whether transactions may be sent. */
  isValid(now: Millis): boolean {
    return now < this.#validUntil;
  }

  setOutageUntil(until: Millis | undefined): void {
    this.#outageUntil = until ?? NEVER;
  }

  /**
   * Records a renewal. Returns whether the incarnation changed: `nextSerial` is then the publication
   * that revokes the former units.
   */
  renew(incarnation: Incarnation, validUntil: Millis, nextSerial: number): boolean {
    this.#validUntil = validUntil;
    if (incarnation === this.#incarnation) {
      return false;
    }
    if (this.#incarnation !== '') {
      this.#formerIncarnations = [...this.#formerIncarnations, this.#incarnation];
    }
    this.#incarnation = incarnation;
    this.#adoptSerial = nextSerial;
    return true;
  }

  /** Former incarnations of this process whose work is known to be included in the demand. */
  adoptable(appliedSerial: number): ReadonlySet<Incarnation> {
    return new Set(appliedSerial >= this.#adoptSerial ? this.#formerIncarnations : []);
  }
}
