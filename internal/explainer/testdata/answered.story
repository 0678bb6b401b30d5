182ms edge-hall-leith-2 configuration in force
255ms edge-hall-leith-3 control taken
9.556s edge-hall-leith-3 groups
9.606s edge-hall-leith-2 request sent
9.893s edge-hall-leith-2 request ended
10.456s edge-hall-leith-2 configuration in force
answered 200 at edge-hall-leith-2 in 287 ms, 0 ms of them in the queue
