/** A rate limit that allows bursts of `burstSeconds` worth. */
export class Rate {
  constructor(perSecond, burstSeconds) {
    this.perSecond = perSecond;
    this.most = perSecond * burstSeconds;
    this.left = this.most;
    this.at = performance.now();
  }

  /** Takes `count` if the limit allows it now, and returns whether it did. */
  take(count = 1) {
    const now = performance.now();
    this.left = Math.min(this.most, this.left + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}
