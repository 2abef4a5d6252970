/** A stand-in for a plain service that counts its executions, so that duplicate and missing runs can be detected. */
package org.boragebarrow.standins.service;
