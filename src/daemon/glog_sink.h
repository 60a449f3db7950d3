// @file glog_sink.h Output of event log lines to glog.
#ifndef MEDLARGAUGE_DAEMON_GLOG_SINK_H_
#define MEDLARGAUGE_DAEMON_GLOG_SINK_H_

namespace medlargauge {

/// Makes glog the sink of all event log lines of this process.
/// Precondition: glog is initialised and no other thread logs events yet.
void SendEventsToGlog();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_GLOG_SINK_H_
