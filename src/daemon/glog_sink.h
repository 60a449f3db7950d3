// @file glog_sink.h Event lines through glog.
#ifndef MEDLARGAUGE_DAEMON_GLOG_SINK_H_
#define MEDLARGAUGE_DAEMON_GLOG_SINK_H_

namespace medlargauge {

/// Sends all event lines of this process to glog. Precondition: glog is
/// initialised and no other thread writes lines yet.
void SendEventsToGlog();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_GLOG_SINK_H_
