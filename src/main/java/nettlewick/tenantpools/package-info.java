/** Members' pools of sim runners: who holds which, and runners that are added under a monthly cap. */
package nettlewick.tenantpools;
