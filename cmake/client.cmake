# Targets of this area.
dogwood_test(config dogwood_config)
dogwood_test(ownership dogwood_config)
dogwood_test(replica dogwood_replica)
dogwood_test(platform dogwood_platform)
# dogwoodctl without its network transport, so that tests can link it.
dogwood_library(ctl SOURCES ctl_command.cc ctl_explain.cc ctl_help.cc
                            ctl_print.cc ctl_run.cc ctl_session.cc
                LIBS dogwood_http Boost::url)
dogwood_test(ctl dogwood_ctl dogwood_config)
dogwood_binary(dogwoodctl SOURCES src/ctl_main.cc LIBS dogwood_ctl)
