// Package shed decides which new client connections a VM closes unread because it gets more of
// them than it can serve, while other VMs get fewer.
//
// A client whose connection is closed before its request was read tries again and usually
// reaches another VM. So nothing is lost if the load is uneven, and nothing is gained if all
// VMs are overloaded: a VM sheds connections only if it is overloaded and gets clearly more
// requests than the mean of the fleet.
//
// Overload is measured as the time that connections to backend servers take beyond the
// shortest recent one to the same failure domain. It includes queues on the VM's links and the
// wait for its processor. As one slow server or lost packet proves nothing, the fastest of
// several connections counts.
package shed
