/** The operators' HTTP port: health, readiness, metrics, status, drain and planned promotions. */
package org.lavenderwick.adapters.operator;
