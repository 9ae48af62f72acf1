/** Tracks the images that jobs use, with their sizes and the resources of their largest tasks. */
import type { ImageName, JobSpec, Resources } from '../types.js';

/** Image data learned from the specs of the jobs that use the images. */
export class ImageUsage {
  /** Sizes of images in GB. */
  readonly sizesGb = new Map<ImageName, number>();
  /** Resources of the largest task per image. A task with more CPUs or more GPUs replaces the one held. */
  readonly largestTasks = new Map<ImageName, Resources>();

  /** Records that the job uses its image. */
  record(spec: JobSpec): void {
    this.sizesGb.set(spec.image, spec.imageGb);
    const largest = this.largestTasks.get(spec.image);
    if (!largest || largest.gpus < spec.gpus || largest.cpus < spec.cpus) this.largestTasks.set(spec.image, spec);
  }
}
