/** The form of a protocol's routes on the one HTTP address of a controller. */
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';

/** What the HTTP adapter hands to routes beside the request: Node's own message. */
// biome-ignore lint/style/useNamingConvention: hono's own name.
export type Environment = { Bindings: HttpBindings };

/** The routes of a server. */
export type Routes = Hono<Environment>;

/** One request. */
export type RequestContext = Context<Environment>;
