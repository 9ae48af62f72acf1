/** Which images jobs use: their sizes, and the largest task of each. */
import type { ImageName, JobSpec, Resources } from '../types.js';

/** What is known of images from the jobs that use them. */
export class ImageUsage {
  /** Sizes in GB. */
  readonly sizesGb = new Map<ImageName, number>();
  /** What the largest task seen takes that uses an image. */
  readonly largestTasks = new Map<ImageName, Resources>();

  /** A job uses its image. */
  record(spec: JobSpec): void {
    this.sizesGb.set(spec.image, spec.imageGb);
    const largest = this.largestTasks.get(spec.image);
    if (!largest || largest.gpus < spec.gpus || largest.cpus < spec.cpus) this.largestTasks.set(spec.image, spec);
  }
}
