/** A stand-in for a model engine: a pure model of batching, memory and caching, and an HTTP shell around it. */
package org.boragebarrow.standins.engine;
