/** Metering of usage per calendar minute, and policies that limit new charges for the usage of a database group. */
package org.lavenderwick.core.billing;
