dogwood_library(core SOURCES error_func.cc json_func.cc log_func.cc text_func.cc
                LIBS Boost::json easylogging OpenSSL::Crypto Threads::Threads)
dogwood_library(setting SOURCES setting_func.cc LIBS dogwood_core)
dogwood_library(net SOURCES net_func.cc LIBS dogwood_core)
dogwood_library(daemon SOURCES daemon_func.cc LIBS dogwood_net dogwood_setting)
dogwood_library(wire SOURCES link_codec.cc link_server.cc link_client.cc
                        link_table.cc
                LIBS dogwood_net PkgConfig::FLATBUFFERS)
dogwood_library(http SOURCES http_type.cc http_server.cc http_client.cc
                LIBS dogwood_net Boost::url)
dogwood_library(config SOURCES config_cmd.cc config_codec.cc config_func.cc
                               config_query.cc ownership_func.cc
                LIBS dogwood_core)
dogwood_library(replica SOURCES replica_base.cc replica_client.cc
                LIBS dogwood_config dogwood_wire)
dogwood_library(platform SOURCES platform_client.cc LIBS dogwood_http)
dogwood_test(core dogwood_core dogwood_setting)
dogwood_library(limit SOURCES limit_granter.cc limit_share.cc LIBS dogwood_core)
dogwood_test(limit dogwood_limit)
dogwood_test(http dogwood_http)
