/** Types for the routes that a protocol adds to the HTTP server of a controller. */
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono } from 'hono';

/** The environment that the HTTP adapter passes to routes. It gives access to Node's own message. */
// biome-ignore lint/style/useNamingConvention: the name is given by hono.
export type Environment = { Bindings: HttpBindings };

export type Routes = Hono<Environment>;

export type RequestContext = Context<Environment>;
