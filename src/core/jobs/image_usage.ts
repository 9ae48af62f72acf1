/** Tracks the images that jobs use, with their sizes and the resources of their largest tasks. */
import type { ImageName, JobSpec, Resources } from '../types.js';

/** Maximum number of images that are remembered. Those that have not been used for longest are forgotten. */
const MAX_IMAGES = 10_000;

/** What is known of one image. */
interface UsedImage {
  readonly sizeGb: number;
  /** Resources of the largest task. A task with more CPUs or more GPUs replaces the one held. */
  readonly largestTask: Resources;
}

/** Image data learned from the specs of the jobs that use the images, also of jobs that have ended. */
export class ImageUsage {
  /** The image used last comes last. */
  private readonly images = new Map<ImageName, UsedImage>();

  /** Records that the job uses its image. The record of a job that has ended may lack the image's name. */
  record({ image, imageGb, cpus, gpus, memoryGb }: JobSpec): void {
    if (image === '') return;
    const known = this.images.get(image);
    const isLarger = !known || known.largestTask.gpus < gpus || known.largestTask.cpus < cpus;
    const largestTask = isLarger ? { cpus, gpus, memoryGb } : known.largestTask;
    this.images.delete(image);
    this.images.set(image, { sizeGb: imageGb, largestTask });
    if (this.images.size > MAX_IMAGES) this.forgetFirst();
  }

  private forgetFirst(): void {
    const first = this.images.keys().next();
    if (!first.done) this.images.delete(first.value);
  }

  /** Returns the size of an image in GB, or undefined if the image is unknown. */
  sizeGb(image: ImageName): number | undefined {
    return this.images.get(image)?.sizeGb;
  }

  /** Returns the resources of the largest task that uses an image, or undefined if the image is unknown. */
  largestTask(image: ImageName): Resources | undefined {
    return this.images.get(image)?.largestTask;
  }
}
