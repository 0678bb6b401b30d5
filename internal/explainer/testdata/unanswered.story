0s edge-hall-leith-4 request sent
1.001s edge-hall-leith-4 request refused
refused 504 at edge-hall-leith-4 (expired, may have run): it was sent to i-dce65fd6b1, from where no answer came within its time; its configuration was 307ms old
